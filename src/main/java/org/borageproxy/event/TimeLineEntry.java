package org.borageproxy.event;

import java.util.Comparator;

import org.borageproxy.vm.VmName;

/**
 * An event with the time and the VM it happened on. Immutable and thread safe.
 *
 * @param timestamp when it happened
 * @param vm where it happened
 * @param event what happened
 */
public record TimeLineEntry(HybridTimestamp timestamp, VmName vm, Event event) implements Comparable<TimeLineEntry> {

    /** Orders entries by time, then by VM. */
    private static final Comparator<TimeLineEntry> ORDER =
            Comparator.comparing(TimeLineEntry::timestamp).thenComparing(TimeLineEntry::vm);

    @Override
    public int compareTo(TimeLineEntry other) {
        return ORDER.compare(this, other);
    }

    /**
     * Renders the entry as one line.
     *
     * @return the line, without a line end
     */
    public String toLine() {
        StringBuilder line = new StringBuilder();
        line.append("clock=").append(timestamp.millis());
        line.append('.').append(timestamp.counter());
        line.append(" vm=").append(vm);
        line.append(" event=").append(event.name());
        event.fields()
                .forEach((name, value) ->
                        line.append(' ').append(name).append('=').append(quoted(value)));
        return line.toString();
    }

    /**
     * Quotes a value that holds blanks or quotes.
     *
     * @param value the value
     * @return the value as it stands in a line
     */
    static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(character -> character <= ' ' || character == '"');
        return plain ? value : '"' + value.replace("\"", "'").replaceAll("\\s", " ") + '"';
    }
}
