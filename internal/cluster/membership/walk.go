package membership

// walk visits all slots of the table once, from a random start with a random stride that is coprime to their number:
// a random order for each round that takes no memory.
type walk struct{ at, stride, slots, left int }

func (d *Detector) newWalk() walk {
	slots := d.table.slots()
	order := walk{slots: slots, left: slots}
	if slots > 1 {
		order.at = int(d.random.Next() * float64(slots))
		order.stride = 1 + int(d.random.Next()*float64(slots-1))
		for gcd(order.stride, slots) != 1 {
			order.stride = order.stride%(slots-1) + 1
		}
	}
	return order
}

// next is the next member; nil at the end, and once the number of slots has changed.
func (w *walk) next(t *table) *member {
	for w.left > 0 && w.slots == t.slots() {
		w.left--
		w.at = (w.at + w.stride) % w.slots
		if m := t.memberAt(w.at); m != nil {
			return m
		}
	}
	return nil
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// sample draws up to n other members that are eligible.
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

// isAlive and isPresent are conditions for sample.
func isAlive(m *member) bool   { return m.State == Alive }
func isPresent(m *member) bool { return m.State <= Suspect }
