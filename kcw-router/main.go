// Command kcw-router is not built yet.
package main

func main() {}
