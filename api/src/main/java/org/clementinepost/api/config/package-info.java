/** The named objects that operators edit, and the immutable snapshot that they form. */
package org.clementinepost.api.config;
