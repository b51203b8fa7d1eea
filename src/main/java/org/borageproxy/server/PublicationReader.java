package org.borageproxy.server;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Function;

import org.borageproxy.control.Timer;
import org.borageproxy.publication.Publication;
import org.borageproxy.wire.proto.ControlProtocol.DocumentState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Puts published documents in force on this VM. A document whose reading fails for another reason than its content is
 * read again until that succeeds or a newer one arrives: otherwise the VM would go on with the earlier publication. The
 * number of the publication in force never decreases. Not thread safe; confined to one event loop.
 */
final class PublicationReader {

    private static final Logger LOGGER = LoggerFactory.getLogger(PublicationReader.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final Function<byte[], Publication> parser;
    private final Timer timer;
    private final Consumer<Publication> listener;
    private DocumentState newest = DocumentState.getDefaultInstance();
    private long numberInForce;

    /**
     * Creates a reader that has read nothing.
     *
     * @param parser parses a document; throws {@link IllegalArgumentException} if it cannot be read
     * @param timer schedules further attempts, on the event loop
     * @param listener puts a publication in force
     */
    PublicationReader(Function<byte[], Publication> parser, Timer timer, Consumer<Publication> listener) {
        this.parser = parser;
        this.timer = timer;
        this.listener = listener;
    }

    /**
     * Reads a document, unless a newer one has arrived.
     *
     * @param document the document
     */
    void read(DocumentState document) {
        if (document.getNumber() > newest.getNumber()) {
            newest = document;
            readNewest();
        }
    }

    private void readNewest() {
        DocumentState document = newest;
        try {
            listener.accept(parser.apply(document.getContent().toByteArray()));
            numberInForce = document.getNumber();
        } catch (IllegalArgumentException exception) {
            LOGGER.error("event=publication-unreadable number={}", document.getNumber(), exception);
        } catch (RuntimeException | Error exception) {
            LOGGER.error("event=publication-not-read number={}", document.getNumber(), exception);
            timer.schedule(RETRY_DELAY, () -> {
                if (document == newest) {
                    readNewest();
                }
            });
        }
    }

    /** Returns whether the newest document that has arrived is in force. */
    boolean isCurrent() {
        return numberInForce == newest.getNumber();
    }
}
