package rollout

// Verdict is what the evidence says of the target.
type Verdict struct {
	// Bad: the target is worse than the stable version.
	Bad bool
	// Enough: the target has shown enough to be promoted.
	Enough bool
	// Reason says why, for operators.
	Reason string
	// Answers and BadAnswers are the target's; those that were slow are among the bad ones.
	Answers, BadAnswers int
}

// Compare judges the target by the evidence of all daemons.
func Compare(pooled Evidence) Verdict {
	return Verdict{}
}
