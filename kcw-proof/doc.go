// Package proof holds end-to-end tests that run the programs of kingcupwick as
// separate processes and inject failures. It has test files only.
package proof
