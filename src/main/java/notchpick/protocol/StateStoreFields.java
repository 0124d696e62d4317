package notchpick.protocol;

/** Fields of the state store's messages that occur in several of them. */
final class StateStoreFields {
    static final String KEY = "k";
    static final String VALUE = "v";
    /** The version of a key: the revision of its last change. */
    static final String VERSION = "entryNo";
    /** The revision of the whole store. */
    static final String REVISION = "ledgerNo";
    /** The number of a lease. */
    static final String LEASE = "permit";

    static final String PUT = "put";
    static final String DELETE = "delete";

    private StateStoreFields() {}
}
