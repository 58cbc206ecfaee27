package org.sequoiaspindle.core.state;

/** An object of the configuration, referred to by its name. */
public interface NamedObject {

    /** Name, unique among the objects of its kind. */
    String name();
}
