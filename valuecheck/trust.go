package valuecheck

const (
	minForFrequent = 128  // accepted values after the start until a frequent size can be relied on
	minForAny      = 256  // accepted values after the start until values of any size can be
	minAfterFault  = 4096 // accepted values after something malformed until either can be again
)

// trust is whether lengths have proved reliable lately.
type trust struct {
	accepted   int // values since the start or since something malformed was received, up to minAfterFault
	sinceStart int // accepted values since the start, up to minForFrequent
	hadFaults  bool
}

func (trust *trust) valueAccepted() {
	trust.accepted = min(trust.accepted+1, minAfterFault)
	trust.sinceStart = min(trust.sinceStart+1, minForFrequent)
}

func (trust *trust) malformedReceived() {
	trust.accepted = 0
	trust.hadFaults = true
}

// allowsFrequentSizes reports whether a value of a frequent size may be taken for complete though larger sizes exist.
func (trust *trust) allowsFrequentSizes() bool {
	return trust.accepted >= trust.required(minForFrequent)
}

// allowsAnySize reports whether a value of a size that is not frequent may be taken for complete after a short wait.
func (trust *trust) allowsAnySize() bool { return trust.accepted >= trust.required(minForAny) }

func (trust *trust) required(afterStart int) int {
	if trust.hadFaults {
		return minAfterFault
	}
	return afterStart
}

// isLearning reports whether few values were accepted so far.
func (trust *trust) isLearning() bool { return trust.sinceStart < minForFrequent }
