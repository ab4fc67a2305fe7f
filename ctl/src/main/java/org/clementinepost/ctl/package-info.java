/** Command-line tool for operators. */
package org.clementinepost.ctl;
