// Command kcw-ledger is not built yet.
package main

func main() {}
