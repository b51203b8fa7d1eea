package org.borageproxy.event;

import java.util.Comparator;

import org.borageproxy.vm.VmName;

/**
 * An event with its timestamp and its origin. Ordered by timestamp, then by VM name, so that the entries of all VMs can
 * be merged into one causal order. Immutable and thread safe.
 *
 * @param timestamp the reading of the VM's hybrid clock when the event was recorded
 * @param vm the VM on which the event occurred
 * @param event the event
 */
public record TimeLineEntry(HybridTimestamp timestamp, VmName vm, Event event) implements Comparable<TimeLineEntry> {

    private static final Comparator<TimeLineEntry> ORDER =
            Comparator.comparing(TimeLineEntry::timestamp).thenComparing(TimeLineEntry::vm);

    @Override
    public int compareTo(TimeLineEntry other) {
        return ORDER.compare(this, other);
    }

    /**
     * Formats the entry as one line of {@code key=value} pairs.
     *
     * @return the line, without a line terminator
     */
    public String toLine() {
        StringBuilder line = new StringBuilder();
        line.append("clock=").append(timestamp.millis());
        line.append('.').append(timestamp.counter());
        line.append(" vm=").append(vm);
        line.append(" event=").append(event.name());
        event.fields()
                .forEach((name, value) ->
                        line.append(' ').append(name).append('=').append(quoteIfNeeded(value)));
        return line.toString();
    }

    /**
     * Encloses a value in double quotes if it is empty or contains ASCII white space, control characters or double
     * quotes. Within the quotes, each white space character is replaced by a space and each double quote by an
     * apostrophe, so that the entry stays on one line and can be parsed.
     *
     * @param value the value
     * @return the value as written to a line
     */
    static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(character -> character <= ' ' || character == '"');
        return plain ? value : '"' + value.replace("\"", "'").replaceAll("\\s", " ") + '"';
    }
}
