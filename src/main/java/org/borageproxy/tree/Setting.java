package org.borageproxy.tree;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * A setting that branches hand down. A declaration takes the value written in itself, else that of the nearest branch
 * above it, else the default.
 */
public enum Setting {
    /** Tokens that a workspace may spend each second over all VMs. */
    RATE_TOKENS_PER_SECOND("rate_tokens_per_second", 1, Long.MAX_VALUE, null, DeclarationKind.WORKSPACE),
    /** Tokens that a workspace may spend at once over all VMs. */
    BURST_TOKENS("burst_tokens", 1, Long.MAX_VALUE, null, DeclarationKind.WORKSPACE),
    /** The priority of a workspace's requests. */
    PRIORITY("priority", -1000, 1000, new SettingValue.Whole(0), DeclarationKind.WORKSPACE),
    /** The models and adapters that a workspace may use; empty for all. */
    USABLE_MODELS("usable_models", 0, 0, new SettingValue.Names(Set.of()), DeclarationKind.WORKSPACE),
    /** The memory that a copy of a model takes, in bytes. */
    MEMORY_BYTES("memory_bytes", 1, Long.MAX_VALUE, null, DeclarationKind.MODEL),
    /** The memory that an adapter takes, in bytes. */
    ADAPTER_MEMORY_BYTES("adapter_memory_bytes", 1, Long.MAX_VALUE, null, DeclarationKind.ADAPTER),
    /** The largest number of tokens of an answer. */
    MAXIMUM_OUTPUT_TOKENS(
            "maximum_output_tokens", 1, Integer.MAX_VALUE, new SettingValue.Whole(1024), DeclarationKind.MODEL),
    /** The time allowed to a request, in milliseconds. */
    TIMEOUT_MILLIS(
            "timeout_millis",
            1,
            3_600_000,
            new SettingValue.Whole(30_000),
            DeclarationKind.MODEL,
            DeclarationKind.ROUTE),
    /** Whether the requests of a route need no key. */
    OPEN("open", 0, 0, new SettingValue.Flag(false), DeclarationKind.ROUTE),
    /** Whether the requests of a route may run more than once. */
    REPEATABLE("repeatable", 0, 0, new SettingValue.Flag(false), DeclarationKind.ROUTE),
    /** The tokens that a request of a route costs. */
    TOKEN_COST("token_cost", 0, Long.MAX_VALUE, new SettingValue.Whole(1), DeclarationKind.ROUTE);

    /** The key in the settings of a branch. */
    private final String key;

    /** The least whole number. */
    private final long least;

    /** The greatest whole number. */
    private final long greatest;

    /** The value if no branch sets one, or {@code null} if one must. */
    private final SettingValue defaultValue;

    /** The declarations that use the setting. */
    private final Set<DeclarationKind> kinds;

    /**
     * Creates a setting.
     *
     * @param key the key in the settings of a branch
     * @param least the least whole number
     * @param greatest the greatest whole number
     * @param defaultValue the value if no branch sets one, or {@code null}
     * @param first a declaration that uses the setting
     * @param others the other declarations that use it
     */
    Setting(
            String key,
            long least,
            long greatest,
            SettingValue defaultValue,
            DeclarationKind first,
            DeclarationKind... others) {
        this.key = key;
        this.least = least;
        this.greatest = greatest;
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
     * Returns the key in a declaration, where the memory of an adapter needs no prefix.
     *
     * @return the key
     */
    public String declaredKey() {
        return this == ADAPTER_MEMORY_BYTES ? MEMORY_BYTES.key : key;
    }

    /**
     * Returns the value that holds if no branch sets one.
     *
     * @return the value, or empty if a branch must set it
     */
    public Optional<SettingValue> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /**
     * Tells whether a kind of declaration uses the setting.
     *
     * @param kind the kind
     * @return {@code true} if it does
     */
    public boolean isUsedBy(DeclarationKind kind) {
        return kinds.contains(kind);
    }

    /**
     * Tells whether the values are whole numbers.
     *
     * @return {@code true} for a whole number
     */
    public boolean isWhole() {
        return this != OPEN && this != REPEATABLE && this != USABLE_MODELS;
    }

    /**
     * Tells whether a whole number is allowed.
     *
     * @param number the number
     * @return {@code true} if it lies in the range
     */
    public boolean allows(long number) {
        return number >= least && number <= greatest;
    }

    /**
     * Describes the allowed whole numbers.
     *
     * @return the range as text
     */
    public String range() {
        return greatest == Long.MAX_VALUE ? "at least " + least : "from " + least + " to " + greatest;
    }

    /**
     * Returns the setting with a key in the settings of a branch.
     *
     * @param key the key
     * @return the setting
     */
    public static Optional<Setting> ofKey(String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.key.equals(key))
                .findFirst();
    }

    /**
     * Returns the setting with a key in a declaration.
     *
     * @param kind the kind of declaration
     * @param key the key
     * @return the setting
     */
    public static Optional<Setting> ofDeclaredKey(DeclarationKind kind, String key) {
        return Arrays.stream(values())
                .filter(setting ->
                        setting.isUsedBy(kind) && setting.declaredKey().equals(key))
                .findFirst();
    }
}
