package faultinject

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestParseScriptReadsFormattedScript(t *testing.T) {
	const text = `1s stall n1   # a remark
500ms cut n0 > n1

2s cut n0 - n2
3s loss 20%
4s delay 10ms 5ms
5s heal n0 > n1
6s resume n1
7s kill n2
8s start n2
9s restart n0
10s heal all`
	s, err := ParseScript(text)
	if err != nil || len(s) != 11 || s[0].Verb != Cut || !s[2].Both || s[3].Share != 0.2 {
		t.Fatalf("parsed script: got %v, error %v, want 11 steps in the order of their times, a cut first and a loss of 0.2", s, err)
	}
	if again, err := ParseScript(s.String()); err != nil || again.String() != s.String() {
		t.Errorf("parse of the formatted script: got %v, error %v, want the same script", again, err)
	}
}

// A syntax error is reported with its line and column.
func TestParseScriptReportsErrorPosition(t *testing.T) {
	for text, column := range map[string]int{
		"soon stall n1":      1,
		"1s":                 3,
		"1s stall":           9,
		"1s wreck n1":        4,
		"1s cut n0 n1":       13,
		"1s cut n0 = n1":     11,
		"1s cut n0 > n1 n2":  16,
		"1s heal all n1":     13,
		"1s loss much":       9,
		"1s loss 120%":       9,
		"1s loss -1%":        9,
		"1s delay 10ms":      14,
		"1s delay a b":       10,
		"1s delay 10ms b":    15,
		"-1s stall n1":       1,
		"1s stall n1 n2":     13,
		"  1s  wreck\tn1 #x": 7,
		"1s cut ü ö é":       10,
	} {
		_, err := ParseScript("# first\n" + text)
		if err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: got error %v, want one in line 2", text, err)
		}
		if syntax, ok := errors.AsType[*SyntaxError](err); !ok || syntax.Line != 2 || syntax.Column != column ||
			!strings.Contains(err.Error(), fmt.Sprintf("column %d:", column)) {
			t.Errorf("%q: got error %v, want one in line 2, column %d", text, err, column)
		}
	}
}

// A random script ends with all faults healed and all processes running, and the same seed gives the same script.
func TestRandomScriptEndsHealed(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(50) {
		script := RandomScript(seed, names, time.Minute, 40, 2)
		if script.String() != RandomScript(seed, names, time.Minute, 40, 2).String() {
			t.Fatalf("seed %d: two scripts differ", seed)
		}
		if again, err := ParseScript(script.String()); err != nil || again.String() != script.String() {
			t.Fatalf("seed %d: parse of the formatted script: got %v, error %v, want\n%v", seed, again, err, script)
		}
		down := map[string]Verb{}
		for _, step := range script {
			switch takenDownBy, isDown := down[step.Target]; step.Verb {
			case Stall, Kill:
				if down[step.Target] = step.Verb; isDown || len(down) > 2 {
					t.Errorf("seed %d: step %v while these processes are down: %v", seed, step, down)
				}
			case Resume, Start:
				if !isDown || (takenDownBy == Stall) != (step.Verb == Resume) {
					t.Errorf("seed %d: step %v for a process that was taken down by %q", seed, step, takenDownBy)
				}
				delete(down, step.Target)
			}
		}
		if len(down) > 0 || script[len(script)-1-stepsAfterLastHeal(script)].Verb != Heal {
			t.Errorf("seed %d: the script ends without a final heal, or with processes that are down: %v", seed, down)
		}
	}
}

// stepsAfterLastHeal returns the number of steps after the last Heal step.
func stepsAfterLastHeal(s Script) (n int) {
	for i := len(s) - 1; s[i].Verb != Heal; i-- {
		n++
	}
	return n
}
