package org.borageproxy.tree;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * A setting that declarations inherit. The effective value is the one written in the declaration itself, else that of
 * the nearest enclosing branch that sets it, else the default. Immutable and thread safe.
 */
public enum Setting {
    /** The tokens per second that a workspace may consume, summed over all VMs. */
    RATE_TOKENS_PER_SECOND("rate_tokens_per_second", 1, Long.MAX_VALUE, null, DeclarationKind.WORKSPACE),
    /** The capacity of a workspace's token bucket, summed over all VMs. */
    BURST_TOKENS("burst_tokens", 1, Long.MAX_VALUE, null, DeclarationKind.WORKSPACE),
    /** The priority of a workspace's requests; larger numbers are served first. */
    PRIORITY("priority", -1000, 1000, new SettingValue.IntegerValue(0), DeclarationKind.WORKSPACE),
    /** The models and adapters that a workspace may use; empty if it may use all. */
    USABLE_MODELS("usable_models", 0, 0, new SettingValue.NameSet(Set.of()), DeclarationKind.WORKSPACE),
    /** The accelerator memory that one copy of a model occupies, in bytes. */
    MEMORY_BYTES("memory_bytes", 1, Long.MAX_VALUE, null, DeclarationKind.MODEL),
    /** The accelerator memory that an adapter occupies, in bytes. */
    ADAPTER_MEMORY_BYTES("adapter_memory_bytes", 1, Long.MAX_VALUE, null, DeclarationKind.ADAPTER),
    /** The maximum number of output tokens of a request. */
    MAXIMUM_OUTPUT_TOKENS(
            "maximum_output_tokens", 1, Integer.MAX_VALUE, new SettingValue.IntegerValue(1024), DeclarationKind.MODEL),
    /** The time limit of a request, in milliseconds. */
    TIMEOUT_MILLIS(
            "timeout_millis",
            1,
            3_600_000,
            new SettingValue.IntegerValue(30_000),
            DeclarationKind.MODEL,
            DeclarationKind.ROUTE),
    /** Whether requests of a route are accepted without an API key. */
    OPEN("open", 0, 0, new SettingValue.BooleanValue(false), DeclarationKind.ROUTE),
    /** Whether requests of a route may be executed more than once. */
    REPEATABLE("repeatable", 0, 0, new SettingValue.BooleanValue(false), DeclarationKind.ROUTE),
    /** The tokens that a request of a route consumes of its workspace's quota. */
    TOKEN_COST("token_cost", 0, Long.MAX_VALUE, new SettingValue.IntegerValue(1), DeclarationKind.ROUTE);

    /** The key in the settings of a branch. */
    private final String key;

    /** The smallest valid integer; unused by settings that are not integers. */
    private final long minimum;

    /** The largest valid integer; unused by settings that are not integers. */
    private final long maximum;

    /** The default, or {@code null} if the document must set the value. */
    private final SettingValue defaultValue;

    /** The kinds of declaration that the setting applies to. */
    private final Set<DeclarationKind> kinds;

    /**
     * Creates a setting.
     *
     * @param key the key in the settings of a branch
     * @param minimum the smallest valid integer
     * @param maximum the largest valid integer
     * @param defaultValue the default, or {@code null} if the document must set the value
     * @param first a kind of declaration that the setting applies to
     * @param others the other kinds of declaration
     */
    Setting(
            String key,
            long minimum,
            long maximum,
            SettingValue defaultValue,
            DeclarationKind first,
            DeclarationKind... others) {
        this.key = key;
        this.minimum = minimum;
        this.maximum = maximum;
        this.defaultValue = defaultValue;
        this.kinds = EnumSet.of(first, others);
    }

    /**
     * Returns the key in the settings of a branch.
     *
     * @return the key
     */
    public String key() {
        return key;
    }

    /**
     * Returns the key in a declaration. It differs from the key in a branch only for the memory of an adapter, whose
     * prefix is redundant inside an adapter.
     *
     * @return the key
     */
    public String declarationKey() {
        return this == ADAPTER_MEMORY_BYTES ? MEMORY_BYTES.key : key;
    }

    /**
     * Returns the value that applies if neither the declaration nor an enclosing branch sets one.
     *
     * @return the default, or empty if the document must set the value
     */
    public Optional<SettingValue> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /**
     * Returns whether the setting applies to a kind of declaration.
     *
     * @param kind the kind
     * @return {@code true} if declarations of the kind may set or inherit it
     */
    public boolean isUsedBy(DeclarationKind kind) {
        return kinds.contains(kind);
    }

    /**
     * Returns whether the values are integers.
     *
     * @return {@code true} for an integer, {@code false} for a boolean or a set of names
     */
    public boolean isInteger() {
        return this != OPEN && this != REPEATABLE && this != USABLE_MODELS;
    }

    /**
     * Returns whether an integer is in the valid range.
     *
     * @param number the integer
     * @return {@code true} if it is, bounds included
     */
    public boolean isInRange(long number) {
        return number >= minimum && number <= maximum;
    }

    /**
     * Describes the valid range of an integer for an error message.
     *
     * @return the range as text
     */
    public String describeRange() {
        return maximum == Long.MAX_VALUE ? "at least " + minimum : "from " + minimum + " to " + maximum;
    }

    /**
     * Finds a setting by its key in the settings of a branch.
     *
     * @param key the key
     * @return the setting, or empty if the key is unknown
     */
    public static Optional<Setting> findByKey(String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.key.equals(key))
                .findFirst();
    }

    /**
     * Finds a setting by its key in a declaration.
     *
     * @param kind the kind of declaration
     * @param key the key
     * @return the setting, or empty if no setting of the kind has the key
     */
    public static Optional<Setting> findByDeclarationKey(DeclarationKind kind, String key) {
        return Arrays.stream(values())
                .filter(setting ->
                        setting.isUsedBy(kind) && setting.declarationKey().equals(key))
                .findFirst();
    }
}
