package org.borageproxy.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Carries all faults of a settings file. Immutable and thread safe. */
public final class SettingsException extends Exception {

    /** The faults in order of their lines. */
    private final List<SettingsError> errors;

    /**
     * Creates an exception.
     *
     * @param errors the faults, not empty
     */
    public SettingsException(List<SettingsError> errors) {
        super(errors.stream().map(SettingsError::toLine).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the faults.
     *
     * @return the faults in order of their lines
     */
    public List<SettingsError> errors() {
        return errors;
    }
}
