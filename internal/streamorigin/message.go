package streamorigin

// beginning tells which version began a stream.
type beginning struct {
	Key     uint64
	Version string
	// Backend is the hash of the ID of the back end that began it.
	Backend uint64
}

// beginMessage tells a home which versions began streams. Its fields are sent by position, so that they never change.
type beginMessage struct {
	Streams []beginning
	// Number is confirmed by the home; zero asks for no confirmation.
	Number uint64
}

// confirmMessage confirms a beginMessage.
type confirmMessage struct{ Number uint64 }

// handoverMessage tells a home of streams that began some time ago, as far as its sender remembers them. Earlier builds don't read it.
type handoverMessage struct{ Streams []agedBeginning }

// agedBeginning is a stream that began AgeMs milliseconds ago.
type agedBeginning struct {
	Key     uint64
	Version string
	// Backend is the hash of the ID of the back end that began it.
	Backend uint64
	AgeMs   uint32
}

// questionMessage asks which version began a stream of a service.
type questionMessage struct {
	Number, Key uint64
	Service     string
}

// answerMessage answers a questionMessage.
type answerMessage struct {
	Number uint64
	// Known is set if the sender knows the version.
	Known   bool
	Version string
	// Several is set if several versions of the service were listed lately.
	Several bool
	// Backend is the hash of the ID of the back end that began it, AgeMs milliseconds ago.
	Backend uint64
	AgeMs   uint32
}

// evidenceMessage tells which versions of the service of a question were listed lately. It is sent before the answer; earlier
// builds neither send nor read it.
type evidenceMessage struct {
	Number uint64
	// Several is set if there was more than one.
	Several bool
	// Complete is set if the sender knows all of them up to now.
	Complete bool
	// Single is set if there was one, Only, and Listed if it still is listed.
	Single, Listed bool
	Only           string
}
