package daemon

// Wake wakes whoever waits for a channel of one place. It never waits: who has
// been woken and has not looked yet is not woken twice.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
