// Command kcwctl is not built yet.
package main

func main() {}
