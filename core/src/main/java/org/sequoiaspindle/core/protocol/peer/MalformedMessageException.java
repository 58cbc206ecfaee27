package org.sequoiaspindle.core.protocol.peer;

/**
 * Thrown for a missing field or a field of the wrong type. The message reader catches the exception
 * and returns the text of the exception as the reason.
 */
final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
