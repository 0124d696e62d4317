/**
 * The data that controllers keep in the state store: its {@link notchpick.storage.StateKeys keys}, one codec for each
 * kind of value, and the leader's writes, which {@link notchpick.storage.FencedWriter} makes conditional on its
 * leadership. {@link notchpick.storage.PackedRecords} packs many small records into a few values.
 */
package notchpick.storage;
