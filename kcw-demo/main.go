// Command kcw-demo is not built yet.
package main

func main() {}
