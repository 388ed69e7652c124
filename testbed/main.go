// Command testbed holds the stand-ins and the load tool for tests.
package main

func main() {}
