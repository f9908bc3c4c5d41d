import ModernError from 'modern-errors'

/** The store rejected a call or returned a response that cannot be decoded. @public */
export const StoreError = ModernError.subclass('StoreError')
