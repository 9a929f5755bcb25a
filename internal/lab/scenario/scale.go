package scenario

// Size is how large a scaled deployment is.
type Size struct {
	Engines, AppRunners, Daemons int
}

// Scaled returns a copy of the scenario on a deployment of another size, with the
// same requests a second for each engine. Crashes of engines that are not there
// are left out.
func (s Scenario) Scaled(size Size) *Scenario {
	scaled := s
	share := float64(size.Engines) / float64(s.Deployment.Engines)
	scaled.Deployment.Engines = size.Engines
	scaled.Deployment.AppRunners = size.AppRunners
	scaled.Deployment.Daemons = size.Daemons
	scaled.BaseRate *= share
	scaled.PeakRate *= share
	scaled.Crashes = nil
	for _, crash := range s.Crashes {
		if crash.Engine < size.Engines {
			scaled.Crashes = append(scaled.Crashes, crash)
		}
	}
	return &scaled
}
