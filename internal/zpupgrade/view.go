package zpupgrade

// View tells which versions of a pool a request may use at one moment. The zero value
// allows all.
type View struct {
	isLimited  bool
	barred     map[string]bool
	admitted   map[string]bool // nil: not known yet
	isRunning  bool
	to         string
	mayUseNew  bool
	share      float64
	isSwitched bool
}

// IsNew reports whether a version is the one that the pool moves to.
func (v View) IsNew(version string) bool { return v.isRunning && version == v.to }

// IsRunning reports whether the pool moves to another version.
func (v View) IsRunning() bool { return v.isRunning }

// Share returns the share of the pool's requests that the new version may get at most.
func (v View) Share() float64 { return v.share }

// IsSwitched reports whether all requests go to the new version.
func (v View) IsSwitched() bool { return v.isSwitched }

// Allows reports whether a request may be sent to a version.
func (v View) Allows(version string) bool {
	switch {
	case !v.isLimited:
		return true
	case v.IsNew(version):
		return v.mayUseNew
	case v.barred[version] || v.isSwitched:
		return false
	default:
		return v.admitted == nil || v.admitted[version]
	}
}

// WithoutNew returns the view of a request that has already been sent to the new version:
// while old versions serve, it must not meet the same fault twice.
func (v View) WithoutNew() View {
	v.mayUseNew = v.mayUseNew && v.isSwitched
	return v
}
