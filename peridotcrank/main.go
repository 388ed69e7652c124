// Command peridotcrank is a fleet capacity and maintenance manager.
package main

func main() {}
