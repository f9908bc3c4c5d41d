import ModernError from 'modern-errors'

/** Base class of all errors from the platform's table service and object store. @public */
export const PlatformError = ModernError.subclass('PlatformError')

/** The condition of a conditional write was not met; nothing was written. @public */
export const ConditionFailedError = PlatformError.subclass('ConditionFailedError')

/** The service could not be reached, or refused the request before applying it; nothing was written. @public */
export const UnreachableError = PlatformError.subclass('UnreachableError')

/** No conclusive response was received; the request may or may not have been applied. @public */
export const OutcomeUnknownError = PlatformError.subclass('OutcomeUnknownError')

/** The service rejected the request with an error that a retry cannot fix, such as an invalid signature. @public */
export const RejectedError = PlatformError.subclass('RejectedError')
