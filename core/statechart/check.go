package statechart

// check reports states that are used but not declared, states that cannot be
// reached, states without a way to a final state, and final states with transitions.
func (l *loader) check() {
	if len(l.states) == 0 {
		l.report(0, "the chart has no states")
		return
	}
	if len(l.final) == 0 {
		l.report(0, "the chart has no final state")
	}
	l.checkKnown(l.initial, "initial state")
	for _, f := range l.final {
		l.checkKnown(f, "final state")
	}
	for _, s := range l.states {
		for _, t := range s.transitions {
			l.checkKnown(t.target, "target state")
		}
	}
	l.checkFinalStates()
	l.checkReachable()
	l.checkFinalReachable()
}

// checkKnown adds a finding if a name is not a declared state. In the finding, what
// describes the use of the name.
func (l *loader) checkKnown(n positioned, what string) {
	if l.stateIndex(n.text) < 0 {
		l.report(n.offset, "%s %q is not declared", what, n.text)
	}
}

// checkFinalStates reports final states with transitions.
func (l *loader) checkFinalStates() {
	for _, f := range l.final {
		i := l.stateIndex(f.text)
		if i >= 0 && len(l.states[i].transitions) > 0 {
			l.report(l.states[i].name.offset, "final state %q has transitions", f.text)
		}
	}
}

// checkReachable reports states that cannot be reached from the initial state.
func (l *loader) checkReachable() {
	start := l.stateIndex(l.initial.text)
	if start < 0 {
		return
	}
	seen := make([]bool, len(l.states))
	l.visit(start, seen)
	for i, s := range l.states {
		if !seen[i] {
			l.report(s.name.offset, "state %q cannot be reached", s.name.text)
		}
	}
}

// checkFinalReachable reports states from which no final state can be reached.
// Such a machine would never be done.
func (l *loader) checkFinalReachable() {
	for i, s := range l.states {
		seen := make([]bool, len(l.states))
		l.visit(i, seen)
		if !l.anyFinal(seen) {
			l.report(s.name.offset, "state %q has no way to a final state", s.name.text)
		}
	}
}

// visit marks state i and all states that can be reached from it in seen.
func (l *loader) visit(i int, seen []bool) {
	if seen[i] {
		return
	}
	seen[i] = true
	for _, t := range l.states[i].transitions {
		if next := l.stateIndex(t.target.text); next >= 0 {
			l.visit(next, seen)
		}
	}
}

// anyFinal reports whether a marked state is final.
func (l *loader) anyFinal(seen []bool) bool {
	for _, f := range l.final {
		if i := l.stateIndex(f.text); i >= 0 && seen[i] {
			return true
		}
	}
	return false
}
