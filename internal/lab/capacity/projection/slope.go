package projection

// Point is one measurement: what something costs at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is how a cost grows with a size. With one point the cost does not depend
// on the size, or was measured at the target size itself.
type Slope struct {
	// Unit is that of the values: s of processor time, B, or B/s.
	Unit string `json:"unit"`
	// Of is what the size counts; empty when the cost does not grow.
	Of     string  `json:"of,omitempty"`
	Points []Point `json:"points"`
}

// Constant makes a slope that does not grow.
func Constant(unit string, value float64) Slope {
	return Slope{Unit: unit, Points: []Point{{Size: 1, Value: value}}}
}

// At returns the cost at a size: on the line through the two measured points that
// are nearest to it. Zero is returned for what was not measured.
func (s Slope) At(size float64) float64 {
	count := len(s.Points)
	switch count {
	case 0:
		return 0
	case 1:
		return s.Points[0].Value
	}
	upper := 1
	for upper < count-1 && s.Points[upper].Size < size {
		upper++
	}
	left, right := s.Points[upper-1], s.Points[upper]
	rise := (right.Value - left.Value) / (right.Size - left.Size)
	return left.Value + rise*(size-left.Size)
}

// Growth returns the exponent of growth between the first and the last point: 1
// for a linear slope, 0 for a constant one. Both points must be above zero, or the
// result is zero.
func (s Slope) Growth() float64 {
	count := len(s.Points)
	if count < 2 {
		return 0
	}
	first, last := s.Points[0], s.Points[count-1]
	if first.Value <= 0 || last.Value <= 0 {
		return 0
	}
	return logRatio(last.Value, first.Value) / logRatio(last.Size, first.Size)
}
