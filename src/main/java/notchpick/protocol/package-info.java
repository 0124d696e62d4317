/**
 * The messages that controllers exchange with users, workers, the cloud, the state store and each other. The field
 * names and values on the wire occur only in this package; all other packages use the terms of docs/glossary.md.
 */
package notchpick.protocol;
