// Package proof holds the tests that run the programs of kingcupwick as real
// processes under failure. It has test files only.
package proof
