package membership

// walk visits each slot of the table once, from a random start with a random stride that is coprime to the number of
// slots. This gives each round a random order that takes no memory.
type walk struct{ position, stride, slots, remaining int }

// newWalk returns a walk over the current slots of the table.
func (d *Detector) newWalk() walk {
	slots := d.table.slots()
	order := walk{slots: slots, remaining: slots}
	if slots > 1 {
		order.position = int(d.random.Float64() * float64(slots))
		order.stride = 1 + int(d.random.Float64()*float64(slots-1))
		for gcd(order.stride, slots) != 1 {
			order.stride = order.stride%(slots-1) + 1
		}
	}
	return order
}

// next returns the next member; nil at the end, or when the number of slots has changed since newWalk.
func (w *walk) next(t *table) *member {
	for w.remaining > 0 && w.slots == t.slots() {
		w.remaining--
		w.position = (w.position + w.stride) % w.slots
		if m := t.memberAt(w.position); m != nil {
			return m
		}
	}
	return nil
}

// gcd returns the greatest common divisor of two positive numbers.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// sample returns up to n random members that are eligible, without this member itself.
func (d *Detector) sample(n int, eligible func(*member) bool) []*member {
	var drawn []*member
	order := d.newWalk()
	for m := order.next(d.table); m != nil && len(drawn) < n; m = order.next(d.table) {
		if m.Name != d.settings.Name && eligible(m) {
			drawn = append(drawn, m)
		}
	}
	return drawn
}

// isAlive and isPresent are conditions for sample. A member is present if it is alive or suspected.
func isAlive(m *member) bool   { return m.State == Alive }
func isPresent(m *member) bool { return m.State <= Suspect }
