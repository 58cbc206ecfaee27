package org.sequoiaspindle.core.coordination.configuration;

/**
 * One reason why an object set cannot be published.
 *
 * @param code stable code of the kind of problem, such as {@code unresolved-reference}
 * @param kind kind of the object as written in the document, such as {@code pipelines}
 * @param object name of the object, or its position if it has no usable name
 * @param field field that is at fault, empty for the whole object
 * @param message what is wrong and what to do
 */
public record Problem(String code, String kind, String object, String field, String message) {}
