package membership

// maxAwareness is the upper bound of awareness. It limits the factor on probe timeouts and periods to nine.
const maxAwareness = 8

// awareness is Lifeguard's local health multiplier, 0 to maxAwareness: 0 is healthy, a higher value means that this
// member itself seems slow or partitioned. A higher value lengthens this member's probe timeouts and periods, which
// trades slower detection by this member for fewer false accusations.
type awareness int

func (a *awareness) increase(by int)       { *a = min(maxAwareness, *a+awareness(by)) }
func (a *awareness) decrease()             { *a = max(0, *a-1) }
func (a awareness) timeoutFactor() float64 { return 1 + float64(a) }
