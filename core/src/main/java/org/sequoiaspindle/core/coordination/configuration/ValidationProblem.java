package org.sequoiaspindle.core.coordination.configuration;

/**
 * A problem found by the validation of an object set, which prevents its publication.
 *
 * @param code stable code of the type of problem, such as {@code unresolved-reference}
 * @param kind kind of the object as written in the document, such as {@code pipelines}
 * @param objectName name of the object, or its position among the objects of its kind if the name
 *     is malformed
 * @param field field with the problem, empty if the problem concerns the whole object
 * @param message description of the problem and how to solve the problem
 */
public record ValidationProblem(
        String code, String kind, String objectName, String field, String message) {}
