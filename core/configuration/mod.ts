/**
 * The configuration that is in force in one process: it moves forward only, whatever the order in which pages arrive.
 */
export { createConfiguration } from './create_configuration.ts'
export type { ConfigurationOptions } from './create_configuration.ts'
export type {
  ApplyResult, Configuration, ConfigurationEvent, ConfigurationPage, ConfigurationProblem, RejectedChange
} from './_types.ts'
