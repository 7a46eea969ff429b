/** What the benches share: readings of a process and of the machine, statistics, and results as a table and as JSON. */
package grebewick.lab.measure;
