package daemon

// Wake sends on a channel with a buffer of one without blocking. If a value is already pending, it
// does nothing: the receiver will wake up anyway.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
