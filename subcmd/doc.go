// Package subcmd implements the command lines of the programs basilkeel and
// standin. Each subcommand is a struct that implements one interface; its help is
// shown to operators and in docs/commands.md, which is generated.
package subcmd
