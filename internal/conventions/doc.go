// Package conventions contains tests on the source of the whole module and no other code. The tests check that no
// identifier contains a withdrawn word, and that each package and exported identifier has a doc comment.
//
// testdata/withdrawn.txt lists the withdrawn words, testdata/allowed.txt the identifiers that may contain one, with a
// reason.
package conventions
