package membership

// maxAwareness bounds awareness: probe timeouts are stretched up to nine times.
const maxAwareness = 8

// awareness is Lifeguard's local health multiplier: 0 is healthy, higher values mean that this member itself seems slow
// or cut off. A higher value stretches this member's probe timeouts and periods, which trades slower detection by this
// member for fewer false accusations.
type awareness int

func (a *awareness) worse(by int)   { *a = min(maxAwareness, *a+awareness(by)) }
func (a *awareness) better()        { *a = max(0, *a-1) }
func (a awareness) factor() float64 { return 1 + float64(a) }
