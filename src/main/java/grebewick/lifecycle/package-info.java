/**
 * The life of the process: signals, a new reading of the configuration, the end that waits for pending work, and the
 * training run for the archive of classes. Decides on what is handed in; sockets are others'.
 */
package grebewick.lifecycle;
