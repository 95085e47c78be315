// Package kcw is the root of the packages that the programs of kingcupwick
// share. It holds nothing itself.
package kcw
