package backendpool

// ConnectResult is the result of an attempt to connect to a back end.
type ConnectResult int

const (
	// Connected means that the back end accepts connections.
	Connected ConnectResult = iota
	// ConnectRefused means that the connection was refused or reset, so that no process accepts connections there.
	ConnectRefused
	// ConnectTimedOut means that there was no response: the back end may have failed, or may be silent for a moment and then
	// go on with its requests.
	ConnectTimedOut
)

// String names the result for logs.
func (r ConnectResult) String() string {
	return [...]string{"connected", "refused", "timed out"}[min(max(r, Connected), ConnectTimedOut)]
}
