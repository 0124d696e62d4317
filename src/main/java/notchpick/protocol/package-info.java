/**
 * The messages that the controllers exchange with users, workers, the cloud, the state store and each other. The words
 * on the wire occur in this package alone; everything above uses the terms of docs/glossary.md.
 */
package notchpick.protocol;
