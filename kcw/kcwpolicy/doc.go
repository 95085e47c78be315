// Package kcwpolicy holds the measurement of the policies under load and
// faults: kcwmember, kcwpick, kcwqueue, kcwretry and kcwbreaker together, on
// fake engines and a virtual clock, against plain baselines. All of it is in
// the tests; docs/BENCHMARKS-policy.md has the figures.
package kcwpolicy
