// Command hazelctl is a placeholder until its commands are added.
package main

func main() {}
