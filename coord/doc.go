// Package coord coordinates the entries. The elected entry collects load and demand
// from all entries, plans copies of models, sends orders to engines and divides the
// limits of client accounts among entries. [Coordinator] is the elected entry's side;
// [Client] is the side of every entry, including the elected one.
package coord
