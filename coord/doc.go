// Package coord owns what entries do together: one of them, elected, collects
// load and demand from all, plans copies of models, sends orders to engines and
// divides the limits of client accounts. [Coordinator] is the coordinator's side,
// [Client] every entry's, also the coordinator's own.
package coord
