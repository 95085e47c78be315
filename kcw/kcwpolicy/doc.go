// Package kcwpolicy measures the policies of kcwavailability, kcwpick, kcwqueue, kcwretry
// and kcwbreaker together, under load and faults, on fake engines and a virtual clock,
// and compares them with simple baselines. All code is in the tests;
// docs/BENCHMARKS-policy.md has the figures.
package kcwpolicy
