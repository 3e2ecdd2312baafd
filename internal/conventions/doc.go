// Package conventions holds tests on the source of the whole module: identifiers use the terms of the field and not the
// earlier house words, and each package and exported identifier has a doc comment. It has no code of its own.
//
// testdata/withdrawn.txt lists the withdrawn words, testdata/allowed.txt the identifiers that may hold one, with the reason.
package conventions
