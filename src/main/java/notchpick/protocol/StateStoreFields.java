package notchpick.protocol;

/** Names of fields that occur in several messages of the state store. */
final class StateStoreFields {
    static final String KEY = "k";
    static final String VALUE = "v";
    /** The version of a key, which is the store revision of its last change. */
    static final String VERSION = "entryNo";
    /** The revision of the store as a whole. */
    static final String REVISION = "ledgerNo";
    /** The id of a lease. */
    static final String LEASE = "permit";

    static final String PUT = "put";
    static final String DELETE = "delete";

    private StateStoreFields() {}
}
