package faultinject

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// SyntaxError reports a syntax error in a script and its position.
type SyntaxError struct {
	Line   int // counted from 1
	Column int // column of the wrong word, in characters from 1; if a word is missing, the column after the last word
	Err    error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("script line %d, column %d: %v", e.Line, e.Column, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

// word is a word of a script and its position, as in SyntaxError.
type word struct {
	text         string
	line, column int
}

// errorf returns a SyntaxError at the position of the word.
func (w word) errorf(format string, args ...any) error {
	return &SyntaxError{Line: w.line, Column: w.column, Err: fmt.Errorf(format, args...)}
}

// ParseScript parses a script in the syntax that the package comment defines. Its errors are of type *SyntaxError.
func ParseScript(text string) (Script, error) {
	var script Script
	lineNumber := 0
	for line := range strings.Lines(text) {
		lineNumber++
		line, _, _ = strings.Cut(line, "#")
		words, end := splitWords(line, lineNumber)
		if len(words) == 0 {
			continue
		}
		step, err := parseStep(words, end)
		if err != nil {
			return nil, err
		}
		script = append(script, step)
	}
	slices.SortStableFunc(script, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return script, nil
}

// splitWords splits a line at white space. end is the position after the last word.
func splitWords(line string, lineNumber int) (words []word, end word) {
	rest := line
	column := 1
	for {
		trimmed := strings.TrimLeftFunc(rest, unicode.IsSpace)
		column += utf8.RuneCountInString(rest[:len(rest)-len(trimmed)])
		if trimmed == "" {
			return words, end
		}
		length := strings.IndexFunc(trimmed, unicode.IsSpace)
		if length < 0 {
			length = len(trimmed)
		}
		words = append(words, word{text: trimmed[:length], line: lineNumber, column: column})
		column += utf8.RuneCountInString(trimmed[:length])
		end = word{line: lineNumber, column: column}
		rest = trimmed[length:]
	}
}

// parseStep parses the words of one line, which must not be empty.
func parseStep(words []word, end word) (Step, error) {
	var step Step
	at, err := time.ParseDuration(words[0].text)
	if err != nil || at < 0 {
		return step, words[0].errorf("want a non-negative time, got %q", words[0].text)
	}
	if len(words) < 3 {
		return step, end.errorf("incomplete step: want a time, an action and its arguments")
	}
	step.At, step.Verb = at, Verb(words[1].text)
	arguments := words[2:]
	parse, wantCount := argumentsFor(step.Verb, arguments)
	if parse == nil {
		return step, words[1].errorf("unknown action %q", step.Verb)
	}
	if len(arguments) > wantCount {
		return step, arguments[wantCount].errorf("action %s wants %d arguments, got %d", step.Verb, wantCount, len(arguments))
	}
	if len(arguments) < wantCount {
		return step, end.errorf("action %s wants %d arguments, got %d", step.Verb, wantCount, len(arguments))
	}
	err = parse(&step, arguments)
	return step, err
}

// argumentParser parses the words after a verb into a step.
type argumentParser func(*Step, []word) error

// argumentsFor returns the parser for the arguments of a verb and their number. The parser is nil for an unknown verb.
func argumentsFor(verb Verb, arguments []word) (parse argumentParser, count int) {
	switch verb {
	case Cut:
		return parseLink, 3
	case Heal:
		if arguments[0].text == "all" {
			return parseNoArguments, 1
		}
		return parseLink, 3
	case Loss:
		return parseLoss, 1
	case Delay:
		return parseDelay, 2
	case Stall, Resume, Kill, Start, Restart:
		return parseTarget, 1
	}
	return nil, 0
}

func parseNoArguments(*Step, []word) error { return nil }

func parseTarget(step *Step, arguments []word) error {
	step.Target = arguments[0].text
	return nil
}

func parseLink(step *Step, arguments []word) error {
	arrow := arguments[1]
	if arrow.text != ">" && arrow.text != "-" {
		return arrow.errorf("want > or - between two process names, got %q", arrow.text)
	}
	step.Target, step.Both, step.Peer = arguments[0].text, arrow.text == "-", arguments[2].text
	return nil
}

func parseLoss(step *Step, arguments []word) error {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(arguments[0].text, "%"), 64)
	if err != nil || percent < 0 || percent > 100 {
		return arguments[0].errorf("want a share from 0%% to 100%%, got %q", arguments[0].text)
	}
	step.Share = percent / 100
	return nil
}

func parseDelay(step *Step, arguments []word) error {
	for i, field := range []*time.Duration{&step.Delay, &step.Jitter} {
		duration, err := time.ParseDuration(arguments[i].text)
		if err != nil {
			return arguments[i].errorf("action delay wants two times: %w", err)
		}
		*field = duration
	}
	return nil
}
