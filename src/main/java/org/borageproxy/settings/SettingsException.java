package org.borageproxy.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all errors in a settings file, one per line of the message. Immutable and thread safe. */
public final class SettingsException extends Exception {

    /** The errors, in ascending order of lines. */
    private final List<SettingsError> errors;

    /**
     * Creates an exception.
     *
     * @param errors the errors in ascending order of lines, not empty
     */
    public SettingsException(List<SettingsError> errors) {
        super(errors.stream().map(SettingsError::render).collect(Collectors.joining("\n")));
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns the errors.
     *
     * @return the errors, in ascending order of lines
     */
    public List<SettingsError> errors() {
        return errors;
    }
}
