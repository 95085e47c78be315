package kcwbook

// Time returns the time of the newest command in nanoseconds since the Unix
// epoch.
func (b *Book) Time() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state.now
}
